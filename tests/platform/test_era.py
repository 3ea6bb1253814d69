"""Tests of the header that names how often the store came back from a copy."""

from tornado.httputil import HTTPHeaders

from mangohatch.clock import ManualClock
from mangohatch.errors import StoreRejected
from mangohatch.platform.era import EraReader
from mangohatch.platform.source import CONFIGURATION, PlatformSource
from mangohatch.store import Listing, StoredObject
from tests.functions import function_tests
from tests.platform.site import configuration, route

load_tests = function_tests(__name__)


def headers(text):
    return HTTPHeaders({} if text is None else {"Store-Era": text})


def is_refused(reader, fields):
    try:
        reader.read(fields)
    except StoreRejected:
        return True
    return False


def test_store_need_not_name_its_era():
    assert EraReader().read(headers(None)) is None


def test_era_may_rise():
    reader = EraReader()
    assert [reader.read(headers(text)) for text in ("0", "0", "3")] == [0, 0, 3]


def test_malformed_missing_and_fallen_eras_are_refused():
    for text in (None, "", "-1", "1", "x", "2.0", "\u0663", "9999", "9" * 400):
        reader = EraReader()
        reader.read(headers("2"))
        assert is_refused(reader, headers(text)), text
        assert reader.read(headers("2")) == 2


class Store:
    """Lists one configuration."""

    def put(self, version, revision, *routes):
        value = configuration(version, *routes)
        item = StoredObject(kind="config", name="main", revision=revision, value=value)
        self.listing = Listing(items=[item], revision=revision)

    async def list(self, kind):
        return self.listing


async def test_configuration_never_goes_back_to_an_older_version():
    store = Store()
    source = PlatformSource(store=store, clock=ManualClock())
    store.put(7, 500)
    known = {item.name: item for item in (await source.read(CONFIGURATION, {})).items}
    store.put(6, 480)
    assert (await source.read(CONFIGURATION, known)).items == [known["main"]]
    store.put(7, 480)
    assert (await source.read(CONFIGURATION, known)).items[0].revision == 480


async def test_revision_given_out_again_names_another_configuration():
    store = Store()
    source = PlatformSource(store=store, clock=ManualClock())
    store.put(7, 500)
    known = {item.name: item for item in (await source.read(CONFIGURATION, {})).items}
    assert (await source.read(CONFIGURATION, known)).items == [known["main"]]
    store.put(8, 500, route("r1", "/new/"))
    read = (await source.read(CONFIGURATION, known)).items[0]
    assert '"r8"' in read.json
