"""Array types used in planning."""

import numpy as np
from numpy.typing import NDArray

Array = NDArray[np.float64]
Mask = NDArray[np.bool_]
IntArray = NDArray[np.int64]
