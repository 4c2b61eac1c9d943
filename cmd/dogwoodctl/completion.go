package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
)

type completionCmd struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"Shell: ${enum}."`
}

// Help gives examples.
func (completionCmd) Help() string {
	return `Examples:

    source <(dogwoodctl completion bash)

    dogwoodctl completion fish > ~/.config/fish/completions/dogwoodctl.fish`
}

// Run prints the script.
func (c *completionCmd) Run(a *app) error {
	words := completions(a.model.Node, nil)
	if c.Shell == "fish" {
		a.printf("%s", fishScript(words))
		return nil
	}
	if c.Shell == "zsh" {
		a.printf("autoload -U +X bashcompinit && bashcompinit\n")
	}
	a.printf("%s", bashScript(words))
	return nil
}

// completion holds the words that may follow a command.
type completion struct {
	command string // without the program's name, "" for the top
	words   []string
	help    []string
}

// completions lists the subcommands and flags of each command.
func completions(n *kong.Node, path []string) []completion {
	c := completion{command: strings.Join(path, " ")}
	for _, child := range n.Children {
		if child.Type == kong.CommandNode {
			c.words = append(c.words, child.Name)
			c.help = append(c.help, child.Help)
		}
	}
	for node := n; node != nil; node = node.Parent {
		for _, f := range node.Flags {
			c.words = append(c.words, "--"+f.Name)
			c.help = append(c.help, f.Help)
		}
	}
	all := []completion{c}
	for _, child := range n.Children {
		if child.Type == kong.CommandNode {
			all = append(all, completions(child, append(slices.Clone(path), child.Name))...)
		}
	}
	return all
}

// bashScript offers the words of the longest command that the line starts with, and files elsewhere.
func bashScript(all []completion) string {
	var b strings.Builder
	b.WriteString(`_dogwoodctl() {
  local current="${COMP_WORDS[COMP_CWORD]}" command="" word
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case "$word" in -*) continue ;; esac
    case "${command:+$command }$word" in
`)
	for _, c := range all[1:] {
		fmt.Fprintf(&b, "      %q) command=%q ;;\n", c.command, c.command)
	}
	b.WriteString("    esac\n  done\n  case \"$command\" in\n")
	for _, c := range all {
		fmt.Fprintf(&b, "    %q) COMPREPLY=($(compgen -W %q -- \"$current\")) ;;\n", c.command, strings.Join(c.words, " "))
	}
	b.WriteString("  esac\n}\ncomplete -o default -F _dogwoodctl dogwoodctl\n")
	return b.String()
}

func fishScript(all []completion) string {
	var b strings.Builder
	for _, c := range all {
		condition := "__fish_use_subcommand"
		if c.command != "" {
			condition = "__fish_seen_subcommand_from " + c.command[strings.LastIndexByte(c.command, ' ')+1:]
		}
		for i, w := range c.words {
			help := strings.ReplaceAll(c.help[i], "'", "")
			if flag, ok := strings.CutPrefix(w, "--"); ok {
				fmt.Fprintf(&b, "complete -c dogwoodctl -n '%s' -l %s -d '%s'\n", condition, flag, help)
				continue
			}
			fmt.Fprintf(&b, "complete -c dogwoodctl -f -n '%s' -a %s -d '%s'\n", condition, w, help)
		}
	}
	return b.String()
}
