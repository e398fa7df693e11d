"""A query tier over many shards, between callers and upstreams."""
