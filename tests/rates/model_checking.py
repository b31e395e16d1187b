"""Model checker: searches the interleavings of a small model for broken invariants.

A model has four methods:
    actions: Returns the possible next actions, each a tuple of a name and arguments.
    perform: Performs one of them.
    find_violation: Returns a description of a broken invariant, or an empty string.
    state_key: Returns a value that is equal for states with an equal future.
"""

import io
import pickle


class ViolationError(AssertionError):
    """An invariant does not hold; the message contains the schedule that led there."""


def dump_without_identity(content):
    """Pickles equal contents to equal bytes, whichever parts are the same object."""
    stream = io.BytesIO()
    pickler = pickle.Pickler(stream)
    pickler.fast = True
    pickler.dump(content)
    return stream.getvalue()


def explore(model, depth):
    """Searches breadth-first all schedules up to a depth, and each state once.

    Returns:
        The number of different states that were reached.

    Raises:
        ViolationError: An invariant does not hold in a reachable state.
    """
    seen = {}
    frontier = [(pickle.dumps(model), ())]
    for _ in range(depth):
        next_frontier = []
        for state, schedule in frontier:
            for action in pickle.loads(state).actions():
                successor = pickle.loads(state)
                successor.perform(action)
                violation = successor.find_violation()
                if violation:
                    raise ViolationError(
                        f"{violation}\n" + "\n".join(map(str, (*schedule, action)))
                    )
                key = successor.state_key()
                if key in seen:
                    continue
                seen[key] = True
                next_frontier.append((pickle.dumps(successor), (*schedule, action)))
        frontier = next_frontier
    return len(seen)


def run_random_schedule(model, choose, steps):
    """Runs one schedule, whose actions `choose(number of actions)` picks by index.

    Raises:
        ViolationError: An invariant does not hold after a step.
    """
    schedule = []
    for _ in range(steps):
        actions = model.actions()
        if not actions:
            return
        action = actions[choose(len(actions))]
        schedule.append(action)
        model.perform(action)
        violation = model.find_violation()
        if violation:
            raise ViolationError(f"{violation}\n" + "\n".join(map(str, schedule)))
