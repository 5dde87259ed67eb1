package org.amaranthpick.tools;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;

/** Entry point of the program: one command class per command. */
@Cli(
        name = "amaranthpick",
        description = "Router for language-model pipelines over mixed accelerators",
        defaultCommand = Help.class,
        commands = {Help.class})
public final class Main {
    private Main() {}

    /**
     * Runs one command.
     *
     * @param args command and its options
     */
    public static void main(String[] args) {
        Runnable command = new com.github.rvesse.airline.Cli<Runnable>(Main.class).parse(args);
        command.run();
    }
}
