"""What must hold in every simulated deployment at every moment."""
