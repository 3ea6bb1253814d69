"""Starts a host from a checkout: ``python3 deploy/host.py [PLACEMENT]``."""

import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from mangohatch.held_signals import held  # noqa: E402

# The import of the program takes a third of a second on a small host.
held.hold(signal.SIGTERM, signal.SIGHUP)

from mangohatch.platform.run import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
