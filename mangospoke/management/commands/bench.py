"""`mangospoke bench`: run experiments against baselines of the same run."""

import sys
from pathlib import Path
from typing import Annotated

import msgspec
from cyclopts import Parameter

from mangospoke.bench.experiments import Experiment, load_experiment
from mangospoke.bench.fleet import FleetError
from mangospoke.bench.plots import PlotsMissingError, plot_results
from mangospoke.bench.results import Ratio, Results, write_results
from mangospoke.bench.runner import run_experiment
from mangospoke.management.exits import CommandError, ExitCode

DEFAULT_RESULTS = Path("results")


def run(
    *experiments: Path,
    results: Path = DEFAULT_RESULTS,
    plot: Annotated[bool, Parameter(negative="")] = False,
    json: Annotated[bool, Parameter(negative="")] = False,
) -> ExitCode:
    """Runs experiments one after the other.

    Args:
        experiments: Files such as `experiments/overload.toml`.
        results: Directory to write results to.
        plot: Draw a page for each; needs `mangospoke[plots]`.
        json: Print the results as JSON lines, and nothing else.
    """
    if not experiments:
        raise CommandError(ExitCode.USAGE, "name at least one experiment's file")
    loaded = [_load(path) for path in experiments]
    found = [_run_one(each, results, plot, json) for each in loaded]
    broken = any(each.faults for one in found for each in one.measurements)
    return ExitCode.FAULTS_FOUND if broken else ExitCode.OK


def _load(path: Path) -> Experiment:
    try:
        return load_experiment(path)
    except (OSError, msgspec.MsgspecError) as error:
        raise CommandError(ExitCode.USAGE, f"{path}: {error}") from error


def _run_one(
    experiment: Experiment, directory: Path, plot: bool, json: bool
) -> Results:
    def tell(line: str) -> None:
        print(line, file=sys.stderr if json else sys.stdout, flush=True)

    try:
        results = run_experiment(experiment, tell)
    except FleetError as error:
        raise CommandError(ExitCode.STOPPED, str(error)) from error
    except KeyboardInterrupt:
        raise CommandError(ExitCode.STOPPED, "interrupted") from None
    path = write_results(results, directory)
    if json:
        print(msgspec.json.encode(results).decode())
    else:
        headline = {name for each in results.measurements for name in each.headline}
        for ratio in results.ratios:
            if ratio.value in headline:
                print(_line(ratio))
        print(f"results in {path}")
    if plot:
        _plot(results, path)
    return results


def _line(ratio: Ratio) -> str:
    shown = "n/a" if ratio.ratio is None else f"{ratio.ratio:.3f}"
    place = f"{ratio.deployment} {ratio.condition}"
    systems = f"{ratio.system} over {ratio.baseline}"
    return f"{place}: {ratio.value}, {systems}: {shown}"


def _plot(results: Results, path: Path) -> None:
    try:
        plot_results(results, path)
    except PlotsMissingError as error:
        raise CommandError(ExitCode.USAGE, str(error)) from error
