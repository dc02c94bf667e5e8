"""Users: submissions, questions and aborts, and the job records behind them."""
