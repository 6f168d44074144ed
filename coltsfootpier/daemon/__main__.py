"""Entry point of ``python -m coltsfootpier.daemon``."""

import sys

from coltsfootpier.daemon import main

sys.exit(main())
