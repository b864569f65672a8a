"""Which release a stream is bound to, and how instances know of the streams of others."""
