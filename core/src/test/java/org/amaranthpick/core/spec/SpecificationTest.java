package org.amaranthpick.core.spec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.ast.Module;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs every command of the Alloy specifications and compares the result with its {@code expect}
 * clause: 0 for no counterexample or instance, 1 for at least one.
 */
class SpecificationTest {
    static Stream<Arguments> commands() throws IOException {
        Stream.Builder<Arguments> commands = Stream.builder();
        for (String fileName : new String[] {"lease.als", "claim.als"}) {
            Module module = parse(fileName);
            for (Command command : module.getAllCommands()) {
                commands.add(Arguments.of(fileName + " " + command.label, module, command));
            }
        }
        return commands.build();
    }

    private static Module parse(String fileName) throws IOException {
        try (InputStream input = SpecificationTest.class.getResourceAsStream(fileName)) {
            String specification = new String(input.readAllBytes(), StandardCharsets.UTF_8);
            return CompUtil.parseEverything_fromString(A4Reporter.NOP, specification);
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("commands")
    void commandHasExpectedResult(String commandName, Module module, Command command) {
        assertTrue(command.expects >= 0, commandName + " has no expect clause");
        A4Solution solution =
                TranslateAlloyToKodkod.execute_command(
                        A4Reporter.NOP, module.getAllReachableSigs(), command, new A4Options());
        assertEquals(command.expects == 1, solution.satisfiable(), commandName);
    }
}
