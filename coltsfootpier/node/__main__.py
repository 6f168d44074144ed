"""Entry point of ``python -m coltsfootpier.node``."""

from coltsfootpier.node._main import main

if __name__ == "__main__":
    main()
