"""The program that manages members, configuration, groups and claims."""
