"""What a scheduler serves: workers, the list of them, clients. Inputs and due times in, calls out."""
