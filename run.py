"""Starts spindleglade from a checkout, with the dependencies that the deploy file installs in target/deps."""

import os
import sys

ROOT = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [ROOT, os.path.join(ROOT, "target", "deps")]
# Controllers may not write next to their sources, so the build writes the bytecode files here. Python looks
# for those of the standard library under the same prefix too.
sys.pycache_prefix = os.path.join(ROOT, "target", "pycache")

# A controller has a third of a core, where the threads of a linear algebra library gain nothing. At start
# they wait for each other, which takes more CPU time than the rest of the start-up.
os.environ.setdefault("OPENBLAS_NUM_THREADS", "1")

from spindleglade.cli import main  # noqa: E402  (sys.path must be set first)

if __name__ == "__main__":
    sys.exit(main())
