"""Commands, one class for each verb."""
