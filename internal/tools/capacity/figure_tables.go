package capacity

import (
	"fmt"
	"strconv"
	"strings"
)

// TableRows returns the figures as rows of a table for the terminal.
func TableRows(figures []Figure) [][]string {
	rows := [][]string{}
	for _, f := range figures {
		rows = append(rows, []string{
			string(f.Role),
			f.Name,
			valueText(f),
			budgetText(f),
			string(f.Verdict),
			termsText(f),
		})
	}
	return rows
}

func figureTable(figures []Figure) string {
	var rows [][]string
	for _, f := range figures {
		rows = append(rows, []string{
			f.Name,
			valueText(f),
			budgetText(f),
			verdictText(f),
			f.Working,
			termsText(f),
			f.Mechanism,
		})
	}
	return markdownTable([]string{"figure", "at size", "budget", "verdict", "worked out as", "laws read", "mechanism"}, rows)
}

func overBudgetTable(figures []Figure) string {
	var rows [][]string
	for _, f := range overBudget(figures) {
		rows = append(rows, []string{
			string(f.Role),
			f.Name,
			valueText(f),
			budgetText(f),
			formatSignificant(f.BudgetRatio()) + " times",
		})
	}
	return markdownTable([]string{"role", "figure", "at size", "budget", "over it"}, rows)
}

func missingTable(figures []Figure) string {
	var rows [][]string
	for _, f := range withVerdict(figures, NotMeasured) {
		rows = append(rows, []string{
			string(f.Role),
			f.Name,
			budgetText(f),
			"`" + strings.Join(f.Missing, "`, `") + "`",
		})
	}
	return markdownTable([]string{"role", "figure", "budget", "laws to be measured"}, rows)
}

func valueText(f Figure) string {
	if f.Verdict == NotMeasured {
		return "not measured"
	}
	if f.Verdict == Collapsed && len(f.Terms) == 0 {
		return "-"
	}
	return formatQuantity(f.Value, f.Unit)
}

func budgetText(f Figure) string {
	if f.Budget == 0 {
		return "-"
	}
	return formatQuantity(f.Budget, f.Unit)
}

func verdictText(f Figure) string {
	switch f.Verdict {
	case OverBudget:
		return "**broken**, " + formatSignificant(f.BudgetRatio()) + " times"
	case Collapsed:
		return "**collapsed** at " + strconv.Itoa(f.CollapsedAt) + " directors"
	default:
		return string(f.Verdict)
	}
}

// termsText returns the laws that a figure reads, with the sizes at which it reads them, and the laws that are missing.
func termsText(f Figure) string {
	var texts []string
	for _, t := range f.Terms {
		texts = append(texts, t.text())
	}
	for _, name := range f.Missing {
		texts = append(texts, "`"+name+"` (missing)")
	}
	if len(texts) > 0 {
		return strings.Join(texts, "; ")
	}
	if f.Verdict == Collapsed {
		return "none: too few sizes held"
	}
	return "none: constants"
}

func (t Term) text() string {
	if t.Row != "" {
		return fmt.Sprintf("no law; as measured at %s directors in `%s`", formatSignificant(t.X), t.Row)
	}
	text := fmt.Sprintf("`%s`(%s)", t.Law, formatSignificant(t.X))
	if t.Slope {
		text = fmt.Sprintf("`%s`, slope", t.Law)
	}
	if t.Beyond > 0 {
		text += fmt.Sprintf(", %s times beyond its points", formatSignificant(t.Beyond))
	}
	if t.Measured != 0 {
		text += ", where " + formatQuantity(t.Measured, t.Unit) + " was measured"
	}
	if t.Below {
		text += ", below its points"
	}
	return text
}
