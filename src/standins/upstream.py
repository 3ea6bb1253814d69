"""A backend server with two slots, as a stand-in."""

import argparse
import asyncio

from tornado.web import Application, RequestHandler

__all__ = ["make_upstream"]


class WorkHandler(RequestHandler):
    """Runs a request in a slot for ``work_ms``."""

    SUPPORTED_METHODS = ("GET", "POST", "PUT", "DELETE")

    async def prepare(self) -> None:
        work_ms = float(self.get_query_argument("work_ms", "0"))
        async with self.application.settings["slots"]:
            if work_ms:
                await asyncio.sleep(work_ms / 1000)
        self.finish(b"x" * int(self.get_query_argument("size", "200")))


def make_upstream(slots: int) -> Application:
    """
    Make an upstream.

    :param slots: requests that run at once
    :return: the application
    """
    return Application([(r"/.*", WorkHandler)], slots=asyncio.Semaphore(slots))


async def serve(port: int) -> None:
    """
    Serve until cancelled.

    :param port: TCP port on loopback
    """
    make_upstream(2).listen(port, "127.0.0.1")
    await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    asyncio.run(serve(parser.parse_args().port))
