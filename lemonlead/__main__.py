"""`python -m lemonlead`: the command line."""

from .commands import main

if __name__ == "__main__":
    main()
