"""`python -m fernyard.lab`: the laboratory's command line."""

from .cli import lab

if __name__ == "__main__":
    lab()
