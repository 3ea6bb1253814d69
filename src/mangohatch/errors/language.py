"""Errors in sentences of the operators' language."""

from collections.abc import Sequence

from mangohatch.errors.base import ExitCode, MangohatchError

__all__ = ["SentenceError"]


class SentenceError(MangohatchError):
    """
    A sentence of the operators' language is invalid.

    :param text: the sentence
    :param position: index of the first character of the invalid word
    :param problem: description of the error
    :param expected: what is valid at this position; empty when unknown
    """

    code = "sentence_invalid"
    exit_code = ExitCode.USAGE

    def __init__(
        self, *, text: str, position: int, problem: str, expected: Sequence[str] = ()
    ) -> None:
        self.text = text
        self.position = position
        self.problem = problem
        self.expected = tuple(expected)
        super().__init__(self.describe())

    def describe(self) -> str:
        """
        Render the error with a caret under the invalid word.

        :return: lines with the problem, the line of the sentence that holds the word,
            the caret and what was expected
        """
        before = self.text[: self.position]
        start = before.rfind("\n") + 1
        line = self.text[start:].split("\n", 1)[0]
        caret = " " * (self.position - start) + "^"
        lines = [self.problem, f"  {line}", f"  {caret}"]
        if self.expected:
            lines.append(f"expected {', '.join(self.expected)}")
        return "\n".join(lines)
