"""The kinds of array that planning works on."""

import numpy as np
from numpy.typing import NDArray

Array = NDArray[np.float64]
Mask = NDArray[np.bool_]
Counts = NDArray[np.int64]
