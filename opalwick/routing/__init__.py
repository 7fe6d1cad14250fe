"""The reducer: owns all state and the decision module; no input or output, no clock."""
