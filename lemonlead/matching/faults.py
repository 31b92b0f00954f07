"""What is wrong with an expression, and where."""

SYNTAX, NAME, TYPE, COST, VALUE = "syntax", "name", "type", "cost", "value"


class Fault(Exception):
    """One fault: its code (one of those above), what is wrong, and the line and column, both from 1."""

    def __init__(self, code, message, line=1, column=1):
        super().__init__(message)
        self.code, self.message, self.line, self.column = code, message, line, column

    def as_dict(self):
        return {"code": self.code, "line": self.line, "column": self.column, "message": self.message}


class Erred(Fault):
    """An expression that was admitted gave no value for this request: division by zero, no such index, ..."""

    def __init__(self, message, line=1, column=1):
        super().__init__(VALUE, message, line, column)
