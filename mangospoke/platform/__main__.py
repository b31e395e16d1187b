"""Entry point of a hosted daemon: `python3 -m mangospoke.platform`."""

import signal


def main() -> None:
    """Runs a hosted daemon on a host of the platform."""
    # SIGHUP is ignored until the daemon handles it as a reload request: its default
    # action ends the process. The imports take most of a second, so that they follow.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from mangospoke.platform import program

    program.run()


if __name__ == "__main__":
    main()
