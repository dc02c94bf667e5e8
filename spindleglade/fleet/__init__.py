"""The machines rented from the cloud: types, renting, listing, giving back."""
