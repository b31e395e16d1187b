"""HTTP/1.1 client and server on trio streams, based on h11."""
