"""Entry point of ``python -m mangohatch``."""

from mangohatch.run import main

if __name__ == "__main__":
    main()
