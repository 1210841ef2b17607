"""
Starts an entry from a checkout: the platform runs programs by path, uninstalled.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ("packages/core/src", "packages/gateway/src", "platform/src")

sys.path[:0] = [str(ROOT / source) for source in SOURCES]

# No link of this platform has TLS. Where the module cannot be imported, asyncio does
# without it, which saves 4 MB.
sys.modules["ssl"] = None

from kumquatway_platform.__main__ import main  # noqa: E402

sys.exit(main())
