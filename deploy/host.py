"""Starts a host from a checkout: ``python3 deploy/host.py [PLACEMENT]``."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from mangohatch.platform.run import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
