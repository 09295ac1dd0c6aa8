"""python -m millethead"""

import sys

from millethead.cli import main

sys.exit(main())
