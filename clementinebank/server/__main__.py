"""Run the daemon with ``python -m clementinebank.server``."""

import sys

from clementinebank.server import main

sys.exit(main())
