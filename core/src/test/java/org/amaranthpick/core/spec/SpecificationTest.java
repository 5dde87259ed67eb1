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

/** Runs every command of the specifications and compares it with what it expects. */
class SpecificationTest {
    static Stream<Arguments> commands() throws IOException {
        Stream.Builder<Arguments> all = Stream.builder();
        for (String name : new String[] {"lease.als", "claim.als"}) {
            Module module = parse(name);
            for (Command command : module.getAllCommands()) {
                all.add(Arguments.of(name + " " + command.label, module, command));
            }
        }
        return all.build();
    }

    private static Module parse(String name) throws IOException {
        try (InputStream in = SpecificationTest.class.getResourceAsStream(name)) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            return CompUtil.parseEverything_fromString(A4Reporter.NOP, text);
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("commands")
    void commandGivesWhatItExpects(String name, Module module, Command command) {
        assertTrue(command.expects >= 0, name + " does not say what it expects");
        A4Solution solution =
                TranslateAlloyToKodkod.execute_command(
                        A4Reporter.NOP, module.getAllReachableSigs(), command, new A4Options());
        assertEquals(command.expects == 1, solution.satisfiable(), name);
    }
}
