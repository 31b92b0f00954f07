"""Faults of expressions: what is wrong, and at which place in the text."""

# Codes of faults
SYNTAX = "syntax"
NAME = "name"
TYPE = "type"
COST = "cost"
VALUE = "value"


class Fault(Exception):
    """A fault of an expression: its code (one of the above), a message, and the line and column, both counted
    from 1."""

    def __init__(self, code, message, line=1, column=1):
        super().__init__(message)
        self.code = code
        self.message = message
        self.line = line
        self.column = column

    def as_dict(self):
        return {"code": self.code, "line": self.line, "column": self.column, "message": self.message}


class Erred(Fault):
    """A valid expression has no value for a request, for example because of a division by zero or a missing
    list index."""

    def __init__(self, message, line=1, column=1):
        super().__init__(VALUE, message, line, column)
