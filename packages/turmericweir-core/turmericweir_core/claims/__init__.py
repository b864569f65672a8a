"""Run calls at most once across instances: claims, votes, handing them on. Own interface only."""
