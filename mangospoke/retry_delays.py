"""After which time a caller whose request was refused may send it again."""

import math

from mangospoke.conf.declarations import Importance


def retry_delay_s(importance: Importance, draw: float) -> float:
    """Returns the seconds after which a refused caller may retry, with jitter.

    Args:
        importance: The request's importance: the less important wait longer.
        draw: A random number, uniformly distributed between 0 and 1.
    """
    min_delay_s = 0.3 * (1 + importance)
    return min_delay_s * math.exp(draw)
