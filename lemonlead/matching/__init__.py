"""Expressions over requests, and ordered rules made of them.

An expression is read (`lexer`, `parser`), given a type and a worst-case cost (`checker`, by `kinds`,
`declared` and `functions`) and made into something that runs (`exact`, `quick`; `expression` joins both).
Rules (`rules`) are expressions with what they give a request; `index` finds the first that matches without
asking all of them; `standing` holds the set in force and the one that is tried beside it.

Nothing here but `load` reads a file, nothing a socket or a clock, and nothing sends or answers: what a rule
gives is a request class, a key, a tenant and labels, and what it may never do is kept in `rules`. The
gateway's way in is `lemonlead/gateway/request_rules.py`."""
