"""Messages and documents, and how they are encoded."""
