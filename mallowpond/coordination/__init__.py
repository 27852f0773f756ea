"""What uses the table service: membership, configuration, claims, groups."""
