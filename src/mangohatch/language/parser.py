"""Parser of the operators' language."""

from functools import lru_cache
from typing import Any, cast

from lark import Lark, Token, Transformer, v_args
from lark.exceptions import (
    UnexpectedCharacters,
    UnexpectedInput,
    UnexpectedToken,
    VisitError,
)

from mangohatch.errors import SentenceError
from mangohatch.language.fields import ANSWER_COLUMNS, COLUMNS, list_settable_fields
from mangohatch.language.sentences import (
    AddUpstream,
    Condition,
    DeclareService,
    DrainUpstream,
    ExplainRequest,
    Operator,
    ReleaseRequest,
    RemoveUpstream,
    Sentence,
    SetField,
    ShowEvents,
    ShowRows,
    Subject,
)
from mangohatch.timeline import EventKind

__all__ = ["parse"]

MAX_SENTENCE_CHARS = 1_048_576
UNITS_MS = {"ms": 1.0, "s": 1000.0, "m": 60_000.0, "h": 3_600_000.0}
MAX_PORT = 65_535
TERMINAL_DESCRIPTIONS = {
    "NAME": "a name or value",
    "STRING": "a quoted name or value",
    "FIELD": "a field",
    "OPERATOR": "a comparison such as =",
    "DURATION": "a duration such as 10s",
    "INTEGER": "a number",
    "ADDRESS": "an address such as 10.0.0.1:8080",
    "OBJECT": "a JSON object",
    "SCOPE": "request, upstream, service, host or kind",
    "$END": "the end",
}


def parse(text: str) -> Sentence:
    """
    Parse one sentence.

    :param text: the sentence
    :return: the parsed sentence
    :raises SentenceError: with the position of the invalid word
    """
    if len(text) > MAX_SENTENCE_CHARS:
        raise SentenceError(text=text[:80], position=0, problem="sentence is too long")
    try:
        tree = load_grammar().parse(text)
        return cast(Sentence, SentenceBuilder(text).transform(tree))
    except VisitError as exc:
        if isinstance(exc.orig_exc, SentenceError):
            raise exc.orig_exc from None
        raise
    except UnexpectedInput as exc:
        raise to_sentence_error(text, exc) from None


@lru_cache(maxsize=1)
def load_grammar() -> Lark:
    """
    Load the grammar on first use.

    :return: the parser
    """
    return Lark.open(
        "grammar.lark",
        rel_to=__file__,
        parser="lalr",
        lexer="contextual",
        maybe_placeholders=True,
    )


def to_sentence_error(text: str, exc: UnexpectedInput) -> SentenceError:
    """
    Convert an error of the parser into one that points at the invalid word.

    :param text: the sentence
    :param exc: the error of the parser
    :return: the error to raise
    """
    position = len(text.rstrip())
    terminals: set[str] = set()
    if isinstance(exc, UnexpectedToken):
        terminals = set(exc.accepts or exc.expected)
        if exc.token.type != "$END" and exc.token.start_pos is not None:
            position = exc.token.start_pos
    elif isinstance(exc, UnexpectedCharacters):
        terminals = set(exc.allowed)
        position = exc.pos_in_stream or 0
    words = text[position:].split()
    problem = f"unexpected {words[0]!r}" if words else "the sentence is not complete"
    return SentenceError(
        text=text,
        position=position,
        problem=problem,
        expected=sorted(describe_terminal(name) for name in terminals if name != "WS"),
    )


def describe_terminal(name: str) -> str:
    """
    Describe a terminal of the grammar in an error message.

    :param name: name of the terminal in the grammar
    :return: a description, or the keyword that the terminal matches
    """
    return TERMINAL_DESCRIPTIONS.get(name) or name.strip("_").lower()


def unquote(token: Token) -> str:
    """
    Remove the quotes from a quoted name or value.

    :param token: a name or value, quoted or not
    :return: the text without quotes
    """
    return token[1:-1] if token.type == "STRING" else str(token)


@v_args(inline=True)
class SentenceBuilder(Transformer[Token, Sentence]):
    """
    Builds sentences from the parse tree and validates the fields that they name.

    A method with the name of a grammar rule is called by lark for each match.

    :param text: the sentence, for error messages
    """

    def __init__(self, text: str) -> None:
        super().__init__()
        self._text = text

    def make_error(
        self, token: Token, problem: str, expected: Any = ()
    ) -> SentenceError:
        """
        Create an error that points at a token.

        :param token: the invalid token
        :param problem: description of the error
        :param expected: what is valid at this position
        :return: the error to raise
        """
        return SentenceError(
            text=self._text,
            position=token.start_pos or 0,
            problem=problem,
            expected=expected,
        )

    def start(self, sentence: Sentence) -> Sentence:
        return sentence

    show = order = start

    def name(self, token: Token) -> Token:
        return token.update(value=unquote(token))

    def condition(self, field: Token, operator: Token, value: Token) -> Any:
        return field, Operator(operator), unquote(value)

    def where(self, *conditions: Any) -> Any:
        return conditions

    def make_show_rows(
        self, subject: Subject, conditions: Any, service: str = ""
    ) -> ShowRows:
        """
        Build a question for rows after validating the fields of its conditions.

        :param subject: subject of the question
        :param conditions: fields, operators and values; None when there are none
        :param service: name of the service; empty for all services
        :return: the question
        :raises SentenceError: when the subject does not have a field
        """
        columns = COLUMNS[subject] + ANSWER_COLUMNS
        checked_conditions = []
        for field, operator, value in conditions or ():
            if field not in columns:
                problem = f"{subject} have no field {str(field)!r}"
                raise self.make_error(field, problem, columns)
            checked_conditions.append(
                Condition(field=str(field), operator=operator, value=value)
            )
        return ShowRows(
            subject=subject, service=service, conditions=tuple(checked_conditions)
        )

    def services(self, where: Any) -> ShowRows:
        return self.make_show_rows(Subject.SERVICES, where)

    def upstreams(self, service: Token | None, where: Any) -> ShowRows:
        return self.make_show_rows(Subject.UPSTREAMS, where, str(service or ""))

    def hosts(self, where: Any) -> ShowRows:
        return self.make_show_rows(Subject.HOSTS, where)

    def quarantine(self, where: Any) -> ShowRows:
        return self.make_show_rows(Subject.QUARANTINE, where)

    def orders(self, where: Any) -> ShowRows:
        return self.make_show_rows(Subject.ORDERS, where)

    def config(self, service: Token) -> ShowRows:
        return ShowRows(subject=Subject.CONFIG, service=str(service))

    def event_scope(self, scope: Token, name: Token) -> tuple[Token, str, Any]:
        if scope == "kind" and name not in set(EventKind):
            raise self.make_error(
                name, f"no kind of event {str(name)!r}", list(EventKind)
            )
        return scope, str(scope), str(name)

    def since(self, duration: Token) -> tuple[Token, str, Any]:
        digits = duration.rstrip("mhs")
        unit = duration[len(digits) :]
        return duration, "since_ms", int(digits) * UNITS_MS[unit]

    def limit(self, count: Token) -> tuple[Token, str, Any]:
        return count, "limit", int(count)

    def events(self, *parts: tuple[Token, str, Any]) -> ShowEvents:
        fields: dict[str, Any] = {}
        for token, field, value in parts:
            if field in fields:
                raise self.make_error(token, f"{field} is given twice")
            fields[field] = value
        return ShowEvents(**fields)

    def explain(self, request: Token) -> ExplainRequest:
        return ExplainRequest(request=str(request))

    def drain(self, upstream: Token, service: Token) -> DrainUpstream:
        return DrainUpstream(
            service=str(service), upstream=str(upstream), draining=True
        )

    def undrain(self, upstream: Token, service: Token) -> DrainUpstream:
        return DrainUpstream(
            service=str(service), upstream=str(upstream), draining=False
        )

    def set(self, field: Token, service: Token, value: Token) -> SetField:
        settable = list_settable_fields()
        if field not in settable:
            problem = f"services have no field {str(field)!r} that can be set"
            raise self.make_error(field, problem, settable)
        return SetField(service=str(service), field=str(field), value=unquote(value))

    def slots(self, count: Token) -> int:
        return int(count)

    def add(
        self,
        upstream: Token,
        service: Token,
        address: Token,
        zone: Token,
        slots: int | None,
    ) -> AddUpstream:
        host, _, port = address.partition(":")
        if any(int(part) > 255 for part in host.split(".")) or int(port) > MAX_PORT:
            raise self.make_error(address, f"{str(address)!r} is no address")
        return AddUpstream(
            service=str(service),
            upstream=str(upstream),
            address=host,
            port=int(port),
            zone=str(zone),
            slots=slots,
        )

    def remove(self, upstream: Token, service: Token) -> RemoveUpstream:
        return RemoveUpstream(service=str(service), upstream=str(upstream))

    def declare(self, document: Token) -> DeclareService:
        return DeclareService(json=str(document))

    def release(self, fingerprint: Token, service: Token) -> ReleaseRequest:
        return ReleaseRequest(service=str(service), fingerprint=str(fingerprint))
