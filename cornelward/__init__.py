"""cornelward: a cluster scheduler for unlike workloads."""

from .errors import CornelwardError
from .verdicts import Verdict

__all__ = ["CornelwardError", "Verdict", "__version__"]

__version__ = "0.1.0"
