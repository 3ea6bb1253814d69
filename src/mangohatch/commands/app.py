"""The command-line application."""

from cyclopts import App

from mangohatch import __version__
from mangohatch.commands.ask import ask
from mangohatch.commands.check import check
from mangohatch.commands.events import events
from mangohatch.commands.order import order
from mangohatch.commands.run import run
from mangohatch.commands.version import version

__all__ = ["app"]

EPILOGUE = """
Exit status: 0 done, 1 failed or pending, 2 wrong usage or wrong sentence,
3 settings refused, 4 host or store not reached, 5 order refused.
"""

app = App(
    name="mangohatch",
    help="A load balancer for servers whose load shifts in milliseconds.",
    help_epilogue=EPILOGUE,
    help_format="plaintext",
    version=__version__,
)
for command in (run, check, ask, order, events, version):
    app.command(command)
app.register_install_completion_command(add_to_startup=False)
