"""Control protocol between daemons: requests and responses over pynng sockets."""
