package admission

// BrokerSteps lists the steps of a broker's term.
func BrokerSteps() []BrokerStep { return []BrokerStep{BrokerRecovering, BrokerServing} }

// SlotSteps lists the steps of an ask at its broker.
func SlotSteps() []SlotStep { return []SlotStep{SlotQueued, SlotGiven} }

// AskSteps lists the steps of an ask at the process that made it.
func AskSteps() []AskStep { return []AskStep{AskSent, AskHeld, AskEnded} }
