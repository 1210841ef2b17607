"""
Starts an entry from a checkout, without installing the packages.

The platform runs programs by their path.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ("packages/core/src", "packages/gateway/src", "platform/src")

sys.path[:0] = [str(ROOT / source) for source in SOURCES]

# No connection on this platform uses TLS. Blocking the import of `ssl`, which is
# optional for asyncio, saves 4 MB of memory.
sys.modules["ssl"] = None

from kumquatway_platform.__main__ import main  # noqa: E402

sys.exit(main())
