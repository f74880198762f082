"""The data plane: a gateway that admits clients' requests and forwards them to workers."""
