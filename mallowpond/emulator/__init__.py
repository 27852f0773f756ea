"""Run the product's own services on a virtual clock, against emulated engines."""
