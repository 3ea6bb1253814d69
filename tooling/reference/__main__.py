"""Entry point of ``python -m tooling.reference``, which writes all pages."""

from tooling.reference import PAGES

if __name__ == "__main__":
    for page in PAGES:
        page.path.parent.mkdir(parents=True, exist_ok=True)
        page.path.write_text(page.render(), encoding="utf-8")
