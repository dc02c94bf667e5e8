"""The machines and what runs on them: reports, orders, attempts, and their record."""
