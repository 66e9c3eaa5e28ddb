package cli

func tryCommand() command  { return command{name: "try"} }
func loadCommand() command { return command{name: "load"} }
