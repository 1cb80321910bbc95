"""Run the tool with ``python -m clementinebank.cli``."""

import sys

from clementinebank.cli import main

sys.exit(main())
