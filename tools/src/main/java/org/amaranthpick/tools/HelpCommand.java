package org.amaranthpick.tools;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints help on the program or one command. */
@com.github.rvesse.airline.annotations.Command(
        name = "help",
        description = "Display help information")
public final class HelpCommand implements Command {
    @AirlineModule private GlobalMetadata<Command> mProgram;

    @Arguments(description = "Command to explain")
    private List<String> mCommand = new ArrayList<>();

    @Override
    public int run(PrintStream out, PrintStream err) {
        try {
            Help.help(mProgram, mCommand, out);
        } catch (IOException e) {
            err.println("help cannot be written: " + e.getMessage());
            return ExitCode.USAGE;
        }
        return ExitCode.OK;
    }
}
