"""Entry point of ``python -m coltsfootpier.cli``."""

import sys

from coltsfootpier.cli import main

sys.exit(main())
