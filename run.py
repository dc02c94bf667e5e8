"""Start spindleglade from a checkout: dependencies come from target/deps, as the deploy file built them."""

import os
import sys

ROOT = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [ROOT, os.path.join(ROOT, "target", "deps")]
# Controllers may not write beside their sources; the build leaves the compiled files here, those of the
# standard library too: Python looks for all of them under the one prefix.
sys.pycache_prefix = os.path.join(ROOT, "target", "pycache")

# A third of a core gains nothing from the threads of a linear algebra library, and at start they wait for
# each other at the price of more processor time than all the rest of it.
os.environ.setdefault("OPENBLAS_NUM_THREADS", "1")

from spindleglade.cli import main  # noqa: E402  (the path must be set first)

if __name__ == "__main__":
    sys.exit(main())
