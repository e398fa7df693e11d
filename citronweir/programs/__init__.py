"""Command-line programs and their composition roots."""
